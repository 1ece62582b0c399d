import type { IncomingMessage } from "node:http";
import { BodyCollector } from "@clementinemux/wire/BodyCollector";
import type { PartialMessagePool } from "@clementinemux/wire/PartialMessagePool";
import { RequestOutcome } from "./RequestOutcome";

type UploadRefusal = RequestOutcome.TooLarge | RequestOutcome.UploadDropped | RequestOutcome.UploadTooSlow;

interface UploadOptions {
  readonly request: IncomingMessage;
  readonly pool: PartialMessagePool;
  readonly headBytes: number;
  readonly maxBodyBytes: number;
  readonly onEnd: (body: Buffer) => void;
  readonly onRefused: (reason: UploadRefusal) => void;
}

/** Receives the body of one request until it is complete, refused or cancelled; what comes later is discarded. */
export class Upload {
  readonly #options: UploadOptions;
  readonly #body = new BodyCollector();
  #timer: NodeJS.Timeout | null = null;
  #isEnded = false;

  constructor(options: UploadOptions) {
    this.#options = options;
  }

  start(): void {
    const { request, pool, headBytes } = this.#options;
    request.on("data", (chunk: Buffer) => {
      this.#add(chunk);
    });
    request.on("end", () => {
      if (!this.#isEnded) {
        const body = this.#body.take();
        this.cancel();
        this.#options.onEnd(body);
      }
    });
    pool.note(this, headBytes);
  }

  /** Refuses the request if the body is not complete after this time. */
  limitMs(ms: number): void {
    if (!this.#isEnded) {
      this.#timer = setTimeout(() => {
        this.#refuse(RequestOutcome.UploadTooSlow);
      }, ms);
    }
  }

  drop(): void {
    this.#refuse(RequestOutcome.UploadDropped);
  }

  /** Discards what was received and what follows. */
  cancel(): void {
    this.#isEnded = true;
    this.#body.clear();
    this.#options.pool.remove(this);
    clearTimeout(this.#timer ?? undefined);
  }

  #add(chunk: Buffer): void {
    if (this.#isEnded) {
      return;
    }
    const { pool, headBytes, maxBodyBytes } = this.#options;
    this.#body.add(chunk);
    if (this.#body.sizeBytes > maxBodyBytes) {
      this.#refuse(RequestOutcome.TooLarge);
    } else {
      pool.note(this, headBytes + this.#body.heldBytes);
    }
  }

  #refuse(reason: UploadRefusal): void {
    if (!this.#isEnded) {
      this.cancel();
      this.#options.onRefused(reason);
    }
  }
}
