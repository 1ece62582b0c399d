import type { IncomingMessage } from "node:http";
import { BodyCollector } from "./BodyCollector";
import type { UploadPool } from "./UploadPool";

interface ReceiveOptions {
  readonly maxBytes: number;
  readonly pool: UploadPool;
}

/**
 * Resolves with the body of a request; with null if it is too large or the pool has dropped it, and what follows is
 * discarded. Rejects when the connection ends first.
 */
export function receiveBody(
  request: IncomingMessage,
  { maxBytes, pool }: ReceiveOptions,
): Promise<Buffer | null> {
  return new Promise((resolve, reject) => {
    const body = new BodyCollector();
    let isEnded = false;
    const end = (result: Buffer | null): void => {
      isEnded = true;
      pool.remove(upload);
      body.clear();
      resolve(result);
    };
    const upload = {
      drop: () => {
        end(null);
      },
    };
    request.on("data", (chunk: Buffer) => {
      if (isEnded) {
        return;
      }
      body.add(chunk);
      if (body.sizeBytes > maxBytes) {
        end(null);
      } else {
        pool.note(upload, body.heldBytes);
      }
    });
    request.on("end", () => {
      end(isEnded ? null : body.take());
    });
    request.on("error", reject);
    request.on("close", () => {
      end(null);
    });
    if (Number(request.headers["content-length"] ?? 0) > maxBytes) {
      end(null);
    }
  });
}
