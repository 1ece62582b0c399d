import type { IncomingMessage } from "node:http";

/** Reads a request body. Resolves with null, and stops reading, when it is larger than the limit. */
export async function readBody(request: IncomingMessage, maxBytes: number): Promise<Buffer | null> {
  if (Number(request.headers["content-length"] ?? 0) > maxBytes) {
    return null;
  }
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    sizeBytes += chunk.length;
    if (sizeBytes > maxBytes) {
      return null;
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
