import { benches } from "./benches";

/** Runs `bench NAME [--json] [OPTIONS]` and prints the figures. Returns the exit code. */
export async function runBench(args: readonly string[]): Promise<number> {
  const [name = ""] = args.filter((arg) => !arg.startsWith("--"));
  const options = args.filter((arg) => arg.startsWith("--") && arg !== "--json");
  const load = benches[name];
  if (load === undefined) {
    process.stderr.write(
      `usage: bench NAME [--json] [OPTIONS], with NAME one of: ${Object.keys(benches).join(", ")}\n`,
    );
    return 64;
  }
  const run = await load();
  const figures = await run(new URL(".", import.meta.url).pathname.replace(/chunks\/$/, ""), options);
  if (args.includes("--json")) {
    process.stdout.write(`${JSON.stringify({ bench: name, ...figures })}\n`);
    return 0;
  }
  for (const [key, value] of Object.entries(figures)) {
    process.stdout.write(`${key}: ${typeof value === "number" ? value : JSON.stringify(value, null, 2)}\n`);
  }
  return 0;
}
