import { decode, encode } from "cbor-x";
import { EndTable } from "../ends/EndTable";
import type { TargetEnd } from "../ends/TargetEnd";
import type { StateMachine } from "../StateMachine";
import type { DocumentCommand } from "./DocumentCommand";

/**
 * State machine of the `routes` log: holds the newest route document, whose bytes are opaque to it, and the ends of
 * targets.
 */
export class RouteStateMachine implements StateMachine {
  readonly ends = new EndTable();
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

  /** Returns whether a document was accepted; one whose version is not higher is ignored. */
  apply(command: unknown): boolean {
    const { version, bytes, ends } = command as DocumentCommand;
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
    const state: DocumentCommand = { version: this.#version, bytes: this.#bytes, ends: this.ends.list() };
    return encode(state);
  }

  /** Loads a snapshot. One of an earlier release holds no ends, so those that are known stay. */
  restore(snapshot: Uint8Array): void {
    const { version, bytes, ends } = decode(snapshot) as DocumentCommand;
    this.#version = version;
    this.#bytes = Uint8Array.from(bytes);
    if (ends !== undefined) {
      this.ends.restore(ends);
      this.#onEnded(ends);
    }
  }
}
