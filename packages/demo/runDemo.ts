import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { mkdirSync, mkdtempSync, openSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { createDemoFleet } from "./createDemoFleet";

const startDeadlineMs = 15_000;
const retryIntervalMs = 200;

/** Starts a small fleet on loopback, streams one answer through it, and keeps it running unless `once`. */
export async function runDemo(once: boolean): Promise<number> {
  const folder = mkdtempSync(join(tmpdir(), "clementinemux-demo-"));
  const programs = new URL(".", import.meta.url).pathname;
  const fleet = createDemoFleet(folder);
  const children: ChildProcess[] = [];
  const stop = (): void => {
    for (const child of children) {
      child.kill("SIGKILL");
    }
  };
  try {
    mkdirSync(folder, { recursive: true });
    for (const { program, name, settings } of fleet.processes) {
      const file = join(folder, `${name}.jsonc`);
      const log = openSync(join(folder, `${name}.log`), "a");
      writeFileSync(file, JSON.stringify(settings, null, 2));
      children.push(
        spawn(process.execPath, [join(programs, `${program}.mjs`), "--settings", file], {
          stdio: ["ignore", log, log],
        }),
      );
    }
    const answer = await askUntilAnswered(`${fleet.entryUrl}/v1/chat/completions`);
    process.stdout.write(`answer from ${answer.target}: ${answer.text}\n`);
    if (!once) {
      process.stdout.write(`running at ${fleet.entryUrl}; press Ctrl-C to stop\n`);
      await new Promise((resolve) => process.once("SIGINT", resolve));
    }
    return 0;
  } finally {
    stop();
  }
}

async function askUntilAnswered(url: string): Promise<{ target: string; text: string }> {
  const givenUpAtMs = Date.now() + startDeadlineMs;
  for (;;) {
    try {
      const response = await fetch(url, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({
          model: "demo",
          messages: [{ role: "user", content: "Grade lot 7." }],
          stream: true,
        }),
      });
      if (response.ok) {
        return { target: response.headers.get("clementinemux-target") ?? "?", text: await response.text() };
      }
    } catch {
      // The entry is not listening yet.
    }
    if (Date.now() > givenUpAtMs) {
      throw new Error(`no answer from ${url} within ${startDeadlineMs} ms`);
    }
    await delay(retryIntervalMs);
  }
}
