import { runLoad } from "@clementinemux/standins/load/runLoad";

interface LightReport {
  readonly sentCount: number;
  readonly wholeCount: number;
  readonly wrongCount: number;
  /** Refusals and error events with a reason. */
  readonly explicitCount: number;
  readonly failures: Readonly<Record<string, number>>;
}

/**
 * Sends a light load of streamed requests and checks the responses. Counts errors with a reason separately.
 */
export async function runLightLoad(
  url: string,
  durationMs: number,
  maxTokenCount = 50,
  requestsPerS = 8,
): Promise<LightReport> {
  const load = { model: "demo", token: "", promptCharacters: 200, seed: 5, direct: false };
  const report = await runLoad({ ...load, url, durationMs, maxTokenCount, requestsPerS });
  const { sentCount, wholeCount, wrongCount, failures } = report;
  const explicit = [...failures].filter(([reason]) => /^[a-z_]+$/.test(reason));
  const explicitCount = explicit.reduce((sum, [, count]) => sum + count, 0);
  return { sentCount, wholeCount, wrongCount, explicitCount, failures: Object.fromEntries(failures) };
}
