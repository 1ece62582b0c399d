import { AgentRefusal } from "./AgentRefusal";
import type { ConfigView } from "./ConfigView";
import type { OrderRequest } from "./OrderRequest";
import { checkStamp } from "./checkStamp";
import { parseStamp } from "./parseStamp";

/**
 * Decides whether an order may reach the target. Without I/O. It protects targets that ignore fencing
 * numbers: an old leader is refused by its epoch or, when this agent has restarted and has seen no epoch yet,
 * by a stamp that is too old or of another incarnation.
 */
export class OrderGate {
  readonly #incarnation: string;
  readonly #view: ConfigView;
  #highestEpoch = -1;

  constructor(incarnation: string, view: ConfigView) {
    this.#incarnation = incarnation;
    this.#view = view;
  }

  get highestEpoch(): number {
    return this.#highestEpoch;
  }

  /** Judges an order directly before it is forwarded. */
  admit({ epoch, stamp }: OrderRequest, nowMs: number): AgentRefusal | null {
    const refusal = checkStamp(
      parseStamp(stamp).extractNullable(),
      this.#incarnation,
      nowMs,
      this.#view.config.orderMaxAgeMs,
    );
    if (refusal !== null) {
      return refusal;
    }
    if (epoch < this.#highestEpoch) {
      return AgentRefusal.EpochTooOld;
    }
    this.#highestEpoch = epoch;
    return null;
  }
}
