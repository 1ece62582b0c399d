import type { IncomingMessage } from "node:http";
import { BodyCollector } from "./BodyCollector";
import { BodyRefusal } from "./BodyRefusal";
import type { PartialMessagePool } from "./PartialMessagePool";

interface ReceiveOptions {
  readonly maxBytes: number;
  readonly pool: PartialMessagePool;
}

/**
 * Resolves with the body of a request, or with why it was refused; what follows then is discarded. Rejects when the
 * connection fails first.
 */
export function receiveBody(
  request: IncomingMessage,
  { maxBytes, pool }: ReceiveOptions,
): Promise<Buffer | BodyRefusal> {
  return new Promise((resolve, reject) => {
    const body = new BodyCollector();
    let isEnded = false;
    const end = (result: Buffer | BodyRefusal): void => {
      isEnded = true;
      pool.remove(upload);
      body.clear();
      resolve(result);
    };
    const upload = {
      drop: () => {
        end(BodyRefusal.Dropped);
      },
    };
    request.on("data", (chunk: Buffer) => {
      if (isEnded) {
        return;
      }
      body.add(chunk);
      if (body.sizeBytes > maxBytes) {
        end(BodyRefusal.TooLarge);
      } else {
        pool.note(upload, body.heldBytes);
      }
    });
    request.on("end", () => {
      end(isEnded ? BodyRefusal.Dropped : body.take());
    });
    request.on("error", reject);
    request.on("close", () => {
      end(BodyRefusal.Dropped);
    });
    if (Number(request.headers["content-length"] ?? 0) > maxBytes) {
      end(BodyRefusal.TooLarge);
    }
  });
}
