import { decode, encode } from "cbor-x";
import type { StateMachine } from "../StateMachine";
import type { DocumentCommand } from "./DocumentCommand";

/** State machine of the `routes` log: holds the newest route document, whose bytes are opaque to it. */
export class RouteStateMachine implements StateMachine {
  #version = 0;
  #bytes: Uint8Array = new Uint8Array();

  /** 0 until a document has been accepted. */
  get version(): number {
    return this.#version;
  }

  get bytes(): Uint8Array {
    return this.#bytes;
  }

  /** Returns whether the document was accepted; one whose version is not higher is ignored. */
  apply(command: unknown): boolean {
    const { version, bytes } = command as DocumentCommand;
    if (version <= this.#version) {
      return false;
    }
    this.#version = version;
    // Copied, since the decoded bytes share the buffer of the whole message.
    this.#bytes = Uint8Array.from(bytes);
    return true;
  }

  createSnapshot(): Uint8Array {
    return encode({ version: this.#version, bytes: this.#bytes });
  }

  restore(snapshot: Uint8Array): void {
    const { version, bytes } = decode(snapshot) as DocumentCommand;
    this.#version = version;
    this.#bytes = Uint8Array.from(bytes);
  }
}
