import type { Clock } from "@clementinemux/common/Clock";
import type { CrashEvidence } from "@clementinemux/crashes/CrashEvidence";
import type { CrashFindings } from "@clementinemux/crashes/CrashFindings";
import { CrashLedger } from "@clementinemux/crashes/CrashLedger";
import type { MessageHandler } from "@clementinemux/wire/MessageHandler";
import { MessageName } from "@clementinemux/wire/MessageName";

/**
 * Puts the entries' evidence on crashes of targets together. Entries send theirs to every relay, and return the suspicions
 * that they have, so that nothing is kept across a restart.
 */
export class CrashService {
  /** Handlers that the control process adds to its frame server. */
  readonly handlers: Readonly<Record<string, MessageHandler>> = {
    [MessageName.ExchangeCrashes]: (body) => this.#exchange(body as CrashEvidence),
  };

  readonly #clock: Clock;
  readonly #ledger = new CrashLedger();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  #exchange(evidence: CrashEvidence): CrashFindings {
    const nowMs = this.#clock.monotonicMs();
    this.#ledger.merge(evidence, nowMs);
    this.#ledger.review(nowMs);
    return this.#ledger.getFindings(nowMs);
  }
}
