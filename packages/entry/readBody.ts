import type { IncomingMessage } from "node:http";
import { collectBody } from "@clementinemux/wire/collectBody";

/** Reads a request body. Resolves with null, and stops reading, when it is larger than the limit. */
export async function readBody(request: IncomingMessage, maxBytes: number): Promise<Buffer | null> {
  if (Number(request.headers["content-length"] ?? 0) > maxBytes) {
    return null;
  }
  try {
    return await collectBody(request, maxBytes);
  } catch (error) {
    if (error instanceof RangeError) {
      return null;
    }
    throw error;
  }
}
