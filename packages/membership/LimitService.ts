import type { Clock } from "@clementinemux/common/Clock";
import type { LimitSharesRequest } from "@clementinemux/messages/LimitSharesRequest";
import type { LimitSharesResponse } from "@clementinemux/messages/LimitSharesResponse";
import { partsPerLimit } from "@clementinemux/messages/partsPerLimit";
import { LimitTable } from "@clementinemux/policy/admission/LimitTable";
import { unleasedShare } from "@clementinemux/policy/admission/unleasedShare";
import type { MessageHandler } from "@clementinemux/wire/MessageHandler";
import { MessageName } from "@clementinemux/wire/MessageName";

interface LimitServiceOptions {
  readonly clock: Clock;
  /** Unique for every start of this relay. */
  readonly relayStart: string;
}

const leaseMs = 4000;
// Longer than the entry's lease by the drift of two clocks, so that the entry's lease ends first.
const tableLeaseMs = leaseMs * 1.02;
const sweepIntervalMs = 10_000;

/**
 * Grants entries leased shares of the limits of the teams assigned to this relay. A share is a fraction of a
 * limit; each entry applies it to the limit in its configuration. Nothing is kept across a restart: for one
 * lease after its start, the relay only renews shares that entries report to hold from before the restart.
 */
export class LimitService {
  /** Handlers that the control process adds to its frame server. */
  readonly handlers: Readonly<Record<string, MessageHandler>> = {
    [MessageName.LimitShares]: (body) => this.#grant(body as LimitSharesRequest),
  };

  readonly #options: LimitServiceOptions;
  readonly #limitTables = new Map<string, LimitTable>();
  readonly #fullGrantsFromMs: number;
  #sequence = 0;
  #lastSweepMs: number;

  constructor(options: LimitServiceOptions) {
    this.#options = options;
    this.#lastSweepMs = options.clock.monotonicMs();
    this.#fullGrantsFromMs = this.#lastSweepMs + tableLeaseMs;
  }

  #grant([holder, relayStart, ackedSequence, teams]: LimitSharesRequest): LimitSharesResponse {
    const nowMs = this.#options.clock.monotonicMs();
    const isOwnStart = relayStart === this.#options.relayStart;
    this.#sequence += 1;
    this.#removeUnused(nowMs);
    const sharesParts = teams.map(([team, demandParts, heldParts, moved]) => {
      const share = this.#getLimitTable(team, moved === 1, nowMs).renew(
        holder,
        demandParts / partsPerLimit,
        nowMs,
        {
          sequence: this.#sequence,
          ackedSequence: isOwnStart ? ackedSequence : 0,
          heldShare: heldParts / partsPerLimit,
        },
      );
      return Math.floor(share * partsPerLimit);
    });
    return [this.#options.relayStart, this.#sequence, leaseMs, sharesParts];
  }

  #getLimitTable(team: string, isMoved: boolean, nowMs: number): LimitTable {
    let limitTable = this.#limitTables.get(team);
    if (limitTable === undefined || limitTable.getHolderCount(nowMs) === 0) {
      // Shares granted by the team's previous relay may be valid for one more lease.
      const fullFromMs = isMoved ? nowMs + tableLeaseMs : this.#fullGrantsFromMs;
      limitTable = new LimitTable(1 - unleasedShare, tableLeaseMs, fullFromMs);
      this.#limitTables.set(team, limitTable);
    }
    return limitTable;
  }

  #removeUnused(nowMs: number): void {
    if (nowMs - this.#lastSweepMs < sweepIntervalMs) {
      return;
    }
    this.#lastSweepMs = nowMs;
    for (const [team, limitTable] of this.#limitTables) {
      if (limitTable.getHolderCount(nowMs) === 0) {
        this.#limitTables.delete(team);
      }
    }
  }
}
