import { spawn } from "node:child_process";
import { once } from "node:events";
import { setTimeout as delay } from "node:timers/promises";
import t from "tap";
import { build } from "esbuild";
import { BoundedLogWriter } from "@clementinemux/logging/BoundedLogWriter";
import { logLosses } from "@clementinemux/logging/logLosses";

// Reached only when a test hangs.
t.setTimeout(90_000);

const infoLevel = 30;
const warningLevel = 40;

function createWriter() {
  const state = { nowMs: 0, pendingBytes: 0, lines: [] as string[] };
  const sink = {
    get pendingBytes() {
      return state.pendingBytes;
    },
    isFailing: false,
    write: (text: string) => {
      state.lines.push(text);
    },
  };
  const clock = { monotonicMs: () => state.nowMs, wallMs: () => state.nowMs };
  const writer = new BoundedLogWriter(sink, clock, logLosses);
  const log = (event: string, logLevel: number, padding = 200): void => {
    const context = { logLevel, padding: "x".repeat(padding) };
    writer.write(writer.serialize({ context, message: event, sequence: "1", time: 1, version: "2" }));
  };
  return { state, log };
}

function count(lines: readonly string[], event: string): number {
  return lines.filter((line) => line.includes(`"message":"${event}"`)).length;
}

// Guards against logs that grow with the load, and against ordinary lines that displace warnings.
t.test("ordinary lines are bounded and do not displace warnings", (t) => {
  const { state, log } = createWriter();
  for (state.nowMs = 0; state.nowMs < 10_000; state.nowMs += 1) {
    log("request ended", infoLevel);
    if (state.nowMs % 100 === 0) {
      log("attempt failed", warningLevel);
    }
  }
  const bytes = state.lines.reduce((sum, line) => sum + line.length, 0);
  t.ok(bytes < 65_536 * 14, `${bytes} bytes in 10 s`);
  t.equal(count(state.lines, "attempt failed"), 100);
  t.end();
});

// Guards against lines that are dropped without a report.
t.test("omitted lines are counted in a later line", (t) => {
  const { state, log } = createWriter();
  for (let line = 0; line < 3000; line += 1) {
    log("request ended", infoLevel);
  }
  const written = count(state.lines, "request ended");
  t.ok(written < 3000);
  state.nowMs = 5000;
  log("role changed", infoLevel);
  const report = state.lines.find((line) => line.includes("log lines left out")) ?? "{}";
  t.match(JSON.parse(report), { context: { omitted: { "request ended": 3000 - written } } });
  t.end();
});

t.test("one kind of event leaves budget for the others", (t) => {
  const { state, log } = createWriter();
  for (let line = 0; line < 3000; line += 1) {
    log("request ended", infoLevel);
  }
  log("map planned", infoLevel);
  t.equal(count(state.lines, "map planned"), 1);
  t.end();
});

// Guards against memory that grows while the log is not read.
t.test("ordinary lines are dropped first while the log is not read", (t) => {
  const { state, log } = createWriter();
  state.pendingBytes = 300_000;
  log("request ended", infoLevel);
  log("attempt failed", warningLevel);
  t.same([count(state.lines, "request ended"), count(state.lines, "attempt failed")], [0, 1]);
  state.pendingBytes = 600_000;
  log("attempt failed", warningLevel);
  t.equal(count(state.lines, "attempt failed"), 1);
  t.end();
});

// Guards against a process that blocks because its standard output is a pipe that is not read.
t.test("a blocked standard output does not block the process", async (t) => {
  const source = `
    import { createLogger } from "@clementinemux/logging/createLogger";
    const logger = createLogger("test", {});
    let longestMs = 0;
    let lastAtMs = performance.now();
    const timer = setInterval(() => {
      longestMs = Math.max(longestMs, performance.now() - lastAtMs);
      lastAtMs = performance.now();
      for (let line = 0; line < 500; line += 1) {
        logger.info({ padding: "x".repeat(500) }, "request ended");
        logger.warn({ padding: "x".repeat(500) }, "attempt failed");
      }
    }, 10);
    setTimeout(() => {
      clearInterval(timer);
      const pendingBytes = process.stdout.writableLength;
      process.stderr.write(JSON.stringify({ longestMs, pendingBytes }));
      process.exit(0);
    }, 2000);`;
  const { outputFiles } = await build({
    stdin: { contents: source, resolveDir: process.cwd(), loader: "ts" },
    alias: { "@clementinemux": "./packages" },
    bundle: true,
    write: false,
    platform: "node",
    format: "cjs",
  });
  const args = ["-e", outputFiles[0]?.text ?? ""];
  const child = spawn(process.execPath, args, { stdio: ["ignore", "pipe", "pipe"] });
  child.stdout.pause();
  let text = "";
  child.stderr.on("data", (chunk: Buffer) => (text += chunk.toString()));
  const [code] = (await Promise.race([once(child, "exit"), delay(15_000, [null])])) as [number | null];
  child.kill("SIGKILL");
  t.equal(code, 0);
  const { longestMs, pendingBytes } = JSON.parse(text) as { longestMs: number; pendingBytes: number };
  t.ok(longestMs < 1000, `longest stall ${Math.round(longestMs)} ms`);
  t.ok(pendingBytes < 1_000_000, `${pendingBytes} bytes pending`);
});
