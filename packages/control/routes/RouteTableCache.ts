import type { Either } from "purify-ts/Either";
import type { RouteDocument } from "@clementinemux/routes/RouteDocument";
import { RouteTable } from "@clementinemux/routes/RouteTable";
import type { StoredDocument } from "./StoredDocument";

type Decode = (bytes: Uint8Array) => Either<string, RouteDocument>;

/** Route table of the newest stored document, which is decoded once. */
export class RouteTableCache {
  readonly #stored: StoredDocument;
  readonly #decode: Decode;
  #table: RouteTable | null = null;

  /** `stored` changes as documents are accepted; version 0 means that there is none yet. */
  constructor(stored: StoredDocument, decode: Decode) {
    this.#stored = stored;
    this.#decode = decode;
  }

  /** Null until there is a document that this build can decode. */
  get(): RouteTable | null {
    const { version, bytes } = this.#stored;
    if (version > 0 && this.#table?.document.version !== version) {
      this.#decode(bytes).ifRight((document) => {
        this.#table = new RouteTable(document);
      });
    }
    return this.#table;
  }
}
