import { decode, encode } from "cbor-x";
import { EndTable } from "../ends/EndTable";
import type { TargetEnd } from "../ends/TargetEnd";
import { EvacuationTable } from "../evacuation/EvacuationTable";
import { KnownFailureDomains } from "../evacuation/KnownFailureDomains";
import type { StateMachine } from "../StateMachine";
import type { DocumentCommand } from "./DocumentCommand";
import type { RouteSnapshot } from "./RouteSnapshot";

/**
 * State machine of the `routes` log: holds the newest route document, whose bytes are opaque to it, the ends of
 * targets, and the evacuated and all known failure domains.
 */
export class RouteStateMachine implements StateMachine {
  readonly ends = new EndTable();
  readonly evacuations = new EvacuationTable();
  readonly failureDomains = new KnownFailureDomains();
  readonly #onEnded: (ends: readonly TargetEnd[]) => void;
  #version = 0;
  #bytes: Uint8Array = new Uint8Array();

  /** `onEnded` is called with the ends that were applied, or restored from a snapshot. */
  constructor(onEnded: (ends: readonly TargetEnd[]) => void = () => undefined) {
    this.#onEnded = onEnded;
  }

  /** 0 until a document has been accepted. */
  get version(): number {
    return this.#version;
  }

  get bytes(): Uint8Array {
    return this.#bytes;
  }

  /**
   * Returns whether a document was accepted; one whose version is not higher is ignored. For a change of the evacuations,
   * returns whether it was applied.
   */
  apply(command: unknown): boolean {
    const { version, bytes, ends, evacuation, failureDomains } = command as DocumentCommand;
    if (evacuation !== undefined) {
      return this.evacuations.apply(evacuation);
    }
    this.failureDomains.note(failureDomains ?? []);
    if (ends !== undefined) {
      this.ends.apply(ends);
      this.#onEnded(ends);
    }
    if (version <= this.#version) {
      return false;
    }
    this.#version = version;
    // Copied, since the decoded bytes share the buffer of the whole message.
    this.#bytes = Uint8Array.from(bytes);
    return true;
  }

  createSnapshot(): Uint8Array {
    const state: RouteSnapshot = {
      version: this.#version,
      bytes: this.#bytes,
      ends: this.ends.list(),
      evacuations: this.evacuations.state,
      failureDomains: this.failureDomains.names,
    };
    return encode(state);
  }

  /** Loads a snapshot. One of an earlier release holds no ends or no evacuations, so those that are known stay. */
  restore(snapshot: Uint8Array): void {
    const { version, bytes, ends, evacuations, failureDomains } = decode(snapshot) as RouteSnapshot;
    this.#version = version;
    this.#bytes = Uint8Array.from(bytes);
    if (ends !== undefined) {
      this.ends.restore(ends);
      this.#onEnded(ends);
    }
    this.failureDomains.note(failureDomains ?? []);
    if (evacuations !== undefined) {
      this.evacuations.restore(evacuations);
    }
  }
}
