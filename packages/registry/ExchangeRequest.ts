import type { EntryRecord } from "./EntryRecord";
import type { TargetRecord } from "./TargetRecord";

interface Aged<Item> {
  readonly item: Item;
  readonly ageMs: number;
}

/** One coordinator's news for another. */
export interface ExchangeRequest {
  readonly from: string;
  /** Frame address of the sender. */
  readonly address: string;
  readonly incarnation: string;
  readonly replicaId: string;
  readonly failureDomain: string;
  /** Whether the sender's replica has a disk. */
  readonly isDurable: boolean;
  readonly targets: readonly Aged<TargetRecord>[];
  readonly entries: readonly Aged<EntryRecord>[];
  /** Paces of slow targets; empty from coordinators that do not lead. */
  readonly paces: Readonly<Record<string, number>>;
  readonly coordinators: readonly string[];
}
