import type { IncomingMessage } from "node:http";

/** Reads a request body as text. Rejects when the body exceeds the limit or the request is aborted. */
export async function readBody(request: IncomingMessage, maxBytes: number): Promise<string> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of request) {
    sizeBytes += (chunk as Buffer).length;
    if (sizeBytes > maxBytes) {
      throw new RangeError(`body is longer than ${maxBytes} bytes`);
    }
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString("utf8");
}
