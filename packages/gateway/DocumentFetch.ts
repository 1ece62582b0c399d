import { setTimeout as delay } from "node:timers/promises";
import type { Logger } from "roarr";
import type { DocumentPart } from "@clementinemux/registry/DocumentPart";
import type { DocumentPartRequest } from "@clementinemux/registry/DocumentPartRequest";
import type { SyncResponse } from "@clementinemux/registry/SyncResponse";
import { fetchDocument } from "@clementinemux/registry/fetchDocument";

interface DocumentFetchOptions {
  /** Reads a part at the coordinator in use; null if it has none to give. */
  readonly readPart: (request: DocumentPartRequest) => Promise<DocumentPart | null>;
  /** Called when a document is complete, and can be applied with the next report. */
  readonly onFetched: () => void;
  readonly logger: Logger;
}

const retryMs = 40;

/** Fetches the newest document while reports go on. A part that fails is read again, maybe at another coordinator. */
export class DocumentFetch {
  readonly #options: DocumentFetchOptions;
  /** Version that is wanted; 0 for none. */
  #version = 0;
  #fetched: { readonly version: number; readonly document: Uint8Array } | null = null;

  constructor(options: DocumentFetchOptions) {
    this.#options = options;
  }

  /** Adds a fetched document to a response without it; begins to fetch the document if the gateway lacks it. */
  complete(response: SyncResponse, heldVersion: number): SyncResponse {
    const { documentVersion, document } = response;
    if (document !== null || documentVersion <= heldVersion) {
      this.#endIfReached(Math.max(documentVersion, heldVersion));
      return response;
    }
    if (this.#fetched?.version === documentVersion) {
      return { ...response, document: this.#fetched.document };
    }
    if (documentVersion > this.#version) {
      this.#version = documentVersion;
      void this.#run(documentVersion);
    }
    return response;
  }

  close(): void {
    this.#version = Infinity;
  }

  /** Ends the fetch, unless it is for a newer version: the coordinator may lag. */
  #endIfReached(version: number): void {
    if (version >= this.#version) {
      this.#version = 0;
      this.#fetched = null;
    }
  }

  async #run(version: number): Promise<void> {
    const { onFetched, logger } = this.#options;
    try {
      const document = await fetchDocument({ version, offerId: null }, (request) => this.#readPart(request));
      this.#fetched = { version, document };
      logger.info({ version, sizeBytes: document.length }, "document fetched in parts");
      onFetched();
    } catch (error) {
      logger.info({ version, error: String(error) }, "document not fetched");
      this.#version = this.#version === version ? 0 : this.#version;
    }
  }

  /** Rejects when another version is wanted by now. */
  async #readPart(request: DocumentPartRequest): Promise<DocumentPart> {
    while (this.#version === request.version) {
      const part = await this.#options.readPart(request);
      if (part !== null) {
        return part;
      }
      await delay(retryMs);
    }
    throw new Error("superseded by a newer version");
  }
}
