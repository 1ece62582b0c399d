import { benches } from "./benches";

const usageExitCode = 64;

/** Runs `bench NAME [ARGS] [--OPTION=VALUE] [--json]` and prints the results. Returns the exit code. */
export async function runBench(args: readonly string[]): Promise<number> {
  const [name = "", ...rest] = args.filter((arg) => !arg.startsWith("--"));
  const load = Object.hasOwn(benches, name) ? benches[name] : undefined;
  if (load === undefined) {
    const names = Object.keys(benches).join(", ");
    process.stderr.write(`usage: bench NAME [ARGS] [--OPTION=VALUE] [--json], with NAME one of: ${names}\n`);
    return usageExitCode;
  }
  const run = await load();
  const programs = new URL(".", import.meta.url).pathname.replace(/chunks\/$/, "");
  const results = await run({ programs, args: rest, options: readOptions(args) });
  // A bench that counts incorrect responses fails if there are any.
  const exitCode = "wrongCount" in results && results.wrongCount !== 0 ? 1 : 0;
  if (args.includes("--json")) {
    process.stdout.write(`${JSON.stringify({ bench: name, ...results })}\n`);
    return exitCode;
  }
  for (const [key, value] of Object.entries(results)) {
    const text = typeof value === "object" ? JSON.stringify(value, null, 2) : String(value);
    process.stdout.write(`${key}: ${text}\n`);
  }
  return exitCode;
}

function readOptions(args: readonly string[]): Readonly<Record<string, string>> {
  const pairs = args
    .map((arg) => /^--([^=]+)=(.*)$/.exec(arg))
    .flatMap((match) => (match === null ? [] : [[match[1] ?? "", match[2] ?? ""] as const]));
  return Object.fromEntries(pairs);
}
