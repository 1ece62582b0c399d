import { existsSync, mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { DaemonProcess } from "@clementinemux/system/DaemonProcess";
import { findFreePorts } from "@clementinemux/system/findFreePorts";
import { createDemoFleet } from "./createDemoFleet";
import { formatSettings } from "./formatSettings";
import { showAtMostOnce } from "./showAtMostOnce";
import { showConfigChange } from "./showConfigChange";
import { showRouting } from "./showRouting";

// Three control replicas with two ports each; two entries; four engines and a service, each with an agent.
const portCount = 18;
const maxShownLogCharacters = 2000;

/**
 * Starts a fleet on loopback and demonstrates routing, at-most-once execution and a configuration change.
 * Keeps the fleet running unless `once`. Resolves with the exit code, which is 1 if a step failed.
 */
export async function runDemo(once: boolean): Promise<number> {
  const folder = mkdtempSync(join(tmpdir(), "clementinemux-demo-"));
  const programs = new URL(".", import.meta.url).pathname;
  const daemons: DaemonProcess[] = [];
  const killAll = (): void => {
    daemons.forEach((daemon) => {
      daemon.signal("SIGKILL");
    });
  };
  process.once("exit", killAll);
  const stopped = new Promise<"stopped">((resolve) => {
    for (const signal of ["SIGINT", "SIGTERM"] as const) {
      process.once(signal, () => {
        resolve("stopped");
      });
    }
  });
  try {
    const shown = show(folder, programs, daemons);
    // A failure after Ctrl-C must not be an unhandled rejection.
    shown.catch(() => undefined);
    const hasStopped = (await Promise.race([shown, stopped])) === "stopped";
    if (!once && !hasStopped) {
      print("\nrunning; press Ctrl-C to stop");
      await stopped;
    }
    return 0;
  } catch (error) {
    process.stderr.write(`demo failed: ${error instanceof Error ? error.message : String(error)}\n`);
    printLogs(daemons);
    process.stderr.write(`settings and logs: ${folder}\n`);
    return 1;
  } finally {
    await Promise.all(daemons.map((daemon) => daemon.kill()));
    process.removeListener("exit", killAll);
  }
}

async function show(folder: string, programs: string, daemons: DaemonProcess[]): Promise<void> {
  const tokensFile = join(folder, "tokens.json");
  const tokenFile = join(folder, "token");
  const token = "demo-operator-token";
  writeFileSync(tokensFile, JSON.stringify({ [token]: "demo" }));
  writeFileSync(tokenFile, token, { mode: 0o600 });
  const fleet = createDemoFleet(folder, tokensFile, await findFreePorts(portCount));
  for (const { program, name, settings } of fleet.processes) {
    const text = formatSettings(`${name} (${program})`, settings);
    const daemon = new DaemonProcess({ program: `${program}.mjs`, name, settings: text, folder, programs });
    daemons.push(daemon);
    daemon.start();
  }
  const options = ["--control", fleet.controlUrls.join(","), "--token-file", tokenFile, "--author", "demo"];
  print(`${daemons.length} processes started; settings and logs: ${folder}`);
  print(`entries: ${fleet.entryUrls.join(" ")}`);
  print(`command line: clementinemux status ${options.join(" ")}`);
  print("\n1. A streamed response and how it was routed");
  await showRouting(fleet.entryUrls[0] ?? "", print);
  print("\n2. A request that is not idempotent, sent through two entries");
  await showAtMostOnce(fleet.entryUrls, fleet.serviceUrl, print);
  print("\n3. A configuration change through the command line");
  await showConfigChange(join(programs, "clementinemux.mjs"), options, print);
  const ended = daemons.filter(({ isRunning }) => !isRunning);
  if (ended.length > 0) {
    throw new Error(`ended unexpectedly: ${ended.map(({ name }) => name).join(", ")}`);
  }
}

function print(text: string): void {
  process.stdout.write(`${text}\n`);
}

/** Prints the last lines of the logs of processes that have ended. */
function printLogs(daemons: readonly DaemonProcess[]): void {
  for (const { name, logFile, isRunning } of daemons) {
    if (!isRunning && existsSync(logFile)) {
      process.stderr.write(
        `${name} has ended: ${readFileSync(logFile, "utf8").slice(-maxShownLogCharacters)}\n`,
      );
    }
  }
}
