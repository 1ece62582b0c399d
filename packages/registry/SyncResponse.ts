import type { TargetRecord } from "./TargetRecord";

/** What a gateway lacks, and how fresh it is. */
export interface SyncResponse {
  /** Age of the confirmation that no newer document exists, in ms; null when there is none. */
  readonly ageMs: number | null;
  readonly documentVersion: number;
  /** Bytes of the document; null when the gateway holds it. */
  readonly document: Uint8Array | null;
  readonly registryState: string;
  /** All targets, and while the list is not complete those that are gone; null when the gateway holds them. */
  readonly targets: readonly TargetRecord[] | null;
  /** Whether the coordinator has heard long enough to know every target. */
  readonly isComplete: boolean;
  /** Requests in flight by target, of all other entries. */
  readonly inFlight: Readonly<Record<string, number>>;
  /** Times of slow targets for the same work; 1 for those that are not listed. */
  readonly paces: Readonly<Record<string, number>>;
  readonly liveEntries: number;
  /** Coordinator in the gateway's failure domain; null when none is alive. */
  readonly nearest: string | null;
  /** Frame addresses of the coordinators. */
  readonly coordinators: readonly string[];
}
