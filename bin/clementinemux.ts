import { createCli } from "@clementinemux/cli/createCli";

process.exitCode = await createCli().run(process.argv.slice(2));
