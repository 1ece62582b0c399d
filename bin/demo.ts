import { runDemo } from "@clementinemux/demo/runDemo";

process.exitCode = await runDemo(process.argv.includes("--once"));
