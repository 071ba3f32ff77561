from micadeal.cli.main import main

main()
