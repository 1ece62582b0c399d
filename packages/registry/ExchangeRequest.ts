import type { CrashEvidence } from "@clementinemux/crashes/CrashEvidence";
import type { EntryRecord } from "./EntryRecord";
import type { TargetLimit } from "./TargetLimit";
import type { TargetRecord } from "./TargetRecord";

interface Aged<Item> {
  readonly item: Item;
  readonly ageMs: number;
}

/** Registry changes that one coordinator sends to another. */
export interface ExchangeRequest {
  readonly from: string;
  /** Address of the sender's frame port. */
  readonly address: string;
  readonly incarnation: string;
  readonly replicaId: string;
  readonly failureDomain: string;
  /** Whether the sender's replica stores its state on disk. */
  readonly isDurable: boolean;
  readonly targets: readonly Aged<TargetRecord>[];
  readonly entries: readonly Aged<EntryRecord>[];
  /** Slowdown of slow targets, as a multiple of the usual time; empty unless the sender is the leader. */
  readonly paces: Readonly<Record<string, number>>;
  /** Missing from coordinators of earlier releases. */
  readonly crashes?: CrashEvidence;
  /** What the gateways of this coordinator know of limits. Missing from coordinators of earlier releases. */
  readonly limits?: readonly TargetLimit[];
  readonly coordinators: readonly string[];
}
