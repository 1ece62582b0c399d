import { setTimeout as delay } from "node:timers/promises";
import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { Pool } from "undici";
import { createRandom } from "@clementinemux/common/createRandom";
import { headerNames } from "@clementinemux/common/headerNames";
import { ResponseChecker } from "./ResponseChecker";
import type { LoadRunOptions } from "./LoadRunOptions";
import type { LoadRunReport } from "./LoadRunReport";

interface Counts {
  wholeCount: number;
  wrongCount: number;
  tokenCount: number;
  readonly failures: Map<string, number>;
  readonly firstToken: Histogram;
  readonly tokenGap: Histogram;
}

const maxTrackedMicroseconds = 600_000_000;

/**
 * Sends streamed requests as a Poisson process of the given rate and checks every response. Latencies are
 * measured from the scheduled send time, so that delays of the generator or the target are included.
 */
export async function runLoad(options: LoadRunOptions): Promise<LoadRunReport> {
  const random = createRandom(options.seed);
  const pool = new Pool(options.url, { pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });
  const counts: Counts = {
    wholeCount: 0,
    wrongCount: 0,
    tokenCount: 0,
    failures: new Map(),
    firstToken: createHistogram(),
    tokenGap: createHistogram(),
  };
  const startedAtMs = performance.now();
  const pending: Promise<void>[] = [];
  let offsetMs = 0;
  while (offsetMs < options.durationMs) {
    const scheduledAtMs = startedAtMs + offsetMs;
    const waitMs = scheduledAtMs - performance.now();
    if (waitMs > 1) {
      await delay(waitMs);
    }
    pending.push(sendRequest(pool, options, pending.length, scheduledAtMs, counts));
    offsetMs += (-Math.log(1 - random()) * 1000) / options.requestsPerS;
  }
  await Promise.all(pending);
  const durationMs = performance.now() - startedAtMs;
  await pool.close();
  return { ...counts, sentCount: pending.length, durationMs };
}

async function sendRequest(
  pool: Pool,
  options: LoadRunOptions,
  number: number,
  scheduledAtMs: number,
  counts: Counts,
): Promise<void> {
  const prompt = `request ${number} of ${options.seed} `.padEnd(options.promptCharacters, "lorem ");
  const check = new ResponseChecker(prompt, number, options.maxTokenCount);
  const { model, maxTokenCount } = options;
  try {
    const { statusCode, body } = await pool.request({
      method: "POST",
      path: "/v1/completions",
      headers: getHeaders(options, number),
      body: JSON.stringify({ model, prompt, max_tokens: maxTokenCount, seed: number, stream: true }),
    });
    if (statusCode !== 200) {
      countFailure(counts, /"reason":"([a-z_]+)"/.exec(await body.text())?.[1] ?? `status ${statusCode}`);
      return;
    }
    let lastAtMs = scheduledAtMs;
    for await (const chunk of body as AsyncIterable<Buffer>) {
      const isFirst = check.tokenCount === 0;
      if (check.push(chunk) > 0) {
        const nowMs = performance.now();
        record(isFirst ? counts.firstToken : counts.tokenGap, nowMs - lastAtMs);
        lastAtMs = nowMs;
      }
    }
  } catch (error) {
    countFailure(counts, error instanceof Error ? error.message : "error");
  }
  counts.tokenCount += check.tokenCount;
  counts.wholeCount += check.isComplete ? 1 : 0;
  counts.wrongCount += check.isWrong ? 1 : 0;
  if (check.failure !== null) {
    countFailure(counts, check.failure);
  }
}

function getHeaders({ token, direct }: LoadRunOptions, number: number): Record<string, string> {
  return {
    "content-type": "application/json",
    ...(token === "" ? {} : { authorization: `Bearer ${token}` }),
    ...(direct ? { [headerNames.attemptId]: `direct-${number}.1` } : {}),
  };
}

function createHistogram(): Histogram {
  return build({ highestTrackableValue: maxTrackedMicroseconds, numberOfSignificantValueDigits: 3 });
}

function record(histogram: Histogram, durationMs: number): void {
  histogram.recordValue(Math.min(Math.max(Math.round(durationMs * 1000), 1), maxTrackedMicroseconds));
}

function countFailure(counts: Counts, reason: string): void {
  counts.failures.set(reason, (counts.failures.get(reason) ?? 0) + 1);
}
