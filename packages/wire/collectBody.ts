import type { Readable } from "node:stream";
import { BodyCollector } from "./BodyCollector";

/**
 * Resolves with the whole body of a request or response. Rejects and closes its connection when it is longer than
 * `maxBytes` (a RangeError), and rejects when the connection fails first.
 */
export function collectBody(body: Readable, maxBytes: number): Promise<Buffer> {
  return new Promise((resolve, reject) => {
    const collector = new BodyCollector();
    const fail = (error: Error): void => {
      collector.clear();
      reject(error);
      body.destroy();
    };
    body.on("data", (chunk: Buffer) => {
      collector.add(chunk);
      if (collector.sizeBytes > maxBytes) {
        fail(new RangeError(`body is longer than ${maxBytes} bytes`));
      }
    });
    body.once("end", () => {
      resolve(collector.take());
    });
    body.on("error", fail);
    body.once("close", () => {
      fail(new Error("the connection was closed before the end of the body"));
    });
  });
}
