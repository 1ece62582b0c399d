import { PartCollector } from "@clementinemux/common/PartCollector";
import type { DocumentPart } from "./DocumentPart";
import type { DocumentPartRequest } from "./DocumentPartRequest";
import { documentLimits } from "./documentLimits";

/** Fetches a document part by part. Rejects when `readPart` does, or when the parts make no document. */
export async function fetchDocument(
  source: Omit<DocumentPartRequest, "offsetBytes">,
  readPart: (request: DocumentPartRequest) => Promise<DocumentPart>,
): Promise<Uint8Array> {
  const parts = new PartCollector();
  for (;;) {
    const offsetBytes = parts.receivedBytes;
    const { totalBytes, bytes } = await readPart({ ...source, offsetBytes });
    if (totalBytes > documentLimits.maxFetchedBytes || (bytes.length === 0 && offsetBytes < totalBytes)) {
      throw new Error(`odd part of ${bytes.length} bytes of a document of ${totalBytes} bytes`);
    }
    const document = parts.add("", offsetBytes, totalBytes, bytes);
    if (document !== null) {
      return document;
    }
  }
}
