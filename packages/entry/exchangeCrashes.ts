import type { CrashEvidence } from "@clementinemux/crashes/CrashEvidence";
import type { CrashFindings } from "@clementinemux/crashes/CrashFindings";
import { MessageName } from "@clementinemux/wire/MessageName";
import type { RelayCaller } from "./RelayCaller";

const timeoutMs = 300;

/** Sends evidence on crashes to every relay. Resolves with the findings of those that have responded. */
export async function exchangeCrashes(
  relays: RelayCaller,
  evidence: CrashEvidence,
): Promise<readonly CrashFindings[]> {
  const responses = await relays.callAll(MessageName.ExchangeCrashes, evidence, timeoutMs);
  return responses.map(({ body }) => body as CrashFindings);
}
