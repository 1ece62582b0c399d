import { execFile } from "node:child_process";
import { join } from "node:path";
import { promisify } from "node:util";

interface LoadArguments {
  readonly url: string;
  readonly direct: boolean;
  readonly requestsPerS: number;
  readonly seconds: number;
  readonly tokens: number;
  readonly processCount: number;
}

interface LoadSummary {
  readonly sentCount: number;
  readonly wholeCount: number;
  readonly wrongCount: number;
  readonly tokenCount: number;
  readonly durationMs: number;
  readonly failures: Readonly<Record<string, number>>;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP99Ms: number;
  readonly tokenGapP95Ms: number;
}

const runFile = promisify(execFile);

/**
 * Runs the load generator in separate processes, so that it uses no processor time of the measured one.
 * Counts are summed over the processes; times are the highest of all processes.
 */
export async function runLoadProcesses(options: LoadArguments): Promise<LoadSummary> {
  const programs = new URL(".", import.meta.url).pathname.replace(/chunks\/$/, "");
  const runs = Array.from({ length: options.processCount }, async (_, index) => {
    const { stdout } = await runFile(process.execPath, [
      join(programs, "load.mjs"),
      ...["--url", options.url, "--rate", String(options.requestsPerS / options.processCount)],
      ...["--seconds", String(options.seconds), "--tokens", String(options.tokens), "--prompt", "400"],
      ...["--seed", String(index + 1)],
      ...(options.direct ? ["--direct"] : []),
    ]);
    return JSON.parse(stdout) as LoadSummary;
  });
  const reports = await Promise.all(runs);
  const sum = (pick: (report: LoadSummary) => number): number =>
    reports.reduce((total, report) => total + pick(report), 0);
  const highest = (pick: (report: LoadSummary) => number): number => Math.max(...reports.map(pick));
  const failures: Record<string, number> = {};
  for (const [reason, count] of reports.flatMap((report) => Object.entries(report.failures))) {
    failures[reason] = (failures[reason] ?? 0) + count;
  }
  return {
    sentCount: sum(({ sentCount }) => sentCount),
    wholeCount: sum(({ wholeCount }) => wholeCount),
    wrongCount: sum(({ wrongCount }) => wrongCount),
    tokenCount: sum(({ tokenCount }) => tokenCount),
    durationMs: highest(({ durationMs }) => durationMs),
    failures,
    firstTokenP50Ms: highest(({ firstTokenP50Ms }) => firstTokenP50Ms),
    firstTokenP99Ms: highest(({ firstTokenP99Ms }) => firstTokenP99Ms),
    tokenGapP95Ms: highest(({ tokenGapP95Ms }) => tokenGapP95Ms),
  };
}
