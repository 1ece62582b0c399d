import { AgentRefusal } from "./AgentRefusal";
import type { ConfigView } from "./ConfigView";
import type { OrderRequest } from "./OrderRequest";
import { checkStamp } from "./checkStamp";
import { parseStamp } from "./parseStamp";

/**
 * Decides whether an order may be forwarded to the target. Performs no I/O. Protects targets that ignore
 * fencing tokens: orders of an old leader are rejected by their epoch. When this agent has restarted and has
 * not seen an epoch yet, they are rejected because their stamp is too old or of another incarnation.
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

  /** Returns why an order is rejected; null when admitted. Call it directly before forwarding the order. */
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
