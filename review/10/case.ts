import { setTimeout as delay } from "node:timers/promises";
import type { CaseContext } from "../lib-2/runCase";
import { SmallDeployment } from "../lib-2/SmallDeployment";
import { StandInRunner } from "../lib-2/StandInRunner";
import { createLookupConfig } from "../lib-2/createLookupConfig";
import { runCase } from "../lib-2/runCase";
import { sendLookup } from "../lib-2/sendLookup";

const firstLimitBytes = 16_384;
const raisedLimitBytes = 32_768;
/** Bytes of the header that makes a request long: above the first limit, well below the raised one. */
const longHeaderBytes = 20_000;
const configMs = 2000;
/** A request may also be lost to a machine that is not in touch; this is the bound of the rule DENIED. */
const maxDenied = 5;
const rounds = 30;
const startMs = 3000;

interface Sent {
  readonly isLong: boolean;
  readonly status: number | null;
}

/** A configuration with a limit for the headers of a request. */
function createConfig(version: number, maxHeaderBytes: number): object {
  const limits = {
    max_header_bytes: maxHeaderBytes,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15_000,
  };
  return createLookupConfig(version, { limits });
}

async function play(context: CaseContext): Promise<boolean> {
  const { record, hasTrouble, onEnd } = context;
  const deployment = await SmallDeployment.start(context);
  await deployment.call("PUT", "/config", createConfig(1, firstLimitBytes));
  record.add(`version 1 acknowledged: max_header_bytes ${firstLimitBytes}`);
  const runner = new StandInRunner({ id: "i-1", service: "patio", host: "127.0.0.9", record });
  onEnd(() => {
    runner.close();
  });
  await runner.start((path, body) => deployment.call("PUT", path, body));
  await delay(startMs);
  if (hasTrouble) {
    await deployment.call("PUT", "/config", createConfig(2, raisedLimitBytes));
    record.add(`version 2 acknowledged: max_header_bytes ${raisedLimitBytes}`);
  }
  await delay(configMs + startMs);
  const all: Sent[] = [];
  for (let round = 0; round < rounds; round += 1) {
    for (const address of deployment.gatewayAddresses) {
      for (const isLong of [false, true]) {
        const id = `${isLong ? "long" : "short"}-${all.length}`;
        const status = await sendLookup(address, id, isLong ? "x".repeat(longHeaderBytes) : "x");
        record.add(`${id} to ${address}: ${status ?? "no answer"}`);
        all.push({ isLong, status });
      }
    }
  }
  return judge(context, all);
}

/** Counts refusals with a 4xx of requests that every configuration that may be in force allows. */
function judge({ record, hasTrouble }: CaseContext, all: readonly Sent[]): boolean {
  const isProper = ({ isLong }: Sent): boolean => !isLong || hasTrouble;
  const served = all.filter(({ isLong, status }) => !isLong && status === 200).length;
  if (served === 0) {
    throw new Error("no short request was served");
  }
  const proper = all.filter(isProper);
  const denied = proper.filter(({ status }) => status !== null && status >= 400 && status < 500);
  const allowed = maxDenied + Math.floor(all.length / 500);
  record.add(`${proper.length} proper requests, ${denied.length} denied; allowed ${allowed}`);
  return denied.length <= allowed;
}

await runCase(10, play);
