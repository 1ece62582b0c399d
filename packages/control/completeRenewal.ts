import { decode } from "cbor-x";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import type { ConfigPart } from "@clementinemux/messages/ConfigPart";
import type { FetchConfigRequest } from "@clementinemux/messages/FetchConfigRequest";
import type { RenewResponse } from "@clementinemux/messages/RenewResponse";
import { getBytesDigest } from "./getBytesDigest";

/** Fetches one part; resolves with null when no response was received. */
type FetchPart = (request: FetchConfigRequest) => Promise<ConfigPart | null>;

// The served revision changes at most every few seconds, so more restarts mean a faulty peer.
const maxAttempts = 4;
// Twice the size limit of a configuration.
const maxTotalBytes = 16_777_216;

/**
 * Completes the response to a renewal whose configuration does not fit into one frame. The result has the
 * whole configuration, possibly of a later or earlier revision than the response. If the fetch failed, it has
 * none: the leaseholder does not reach the revision of the response, and requests it again with its next
 * renewal.
 */
export async function completeRenewal(response: RenewResponse, fetchPart: FetchPart): Promise<RenewResponse> {
  if (response.inParts !== true) {
    return response;
  }
  for (let attempts = 0; attempts < maxAttempts; attempts += 1) {
    const first = await fetchPart({ revision: null, offset: 0 });
    if (first === null || first.totalBytes > maxTotalBytes) {
      return response;
    }
    const bytes = await readRest(first, fetchPart);
    if (bytes !== null && getBytesDigest(bytes) === first.digest) {
      return { ...response, config: decode(bytes) as FleetConfig };
    }
  }
  return response;
}

/** Resolves with null when a response is missing or belongs to another encoding. */
async function readRest(first: ConfigPart, fetchPart: FetchPart): Promise<Buffer | null> {
  const { revision, digest, totalBytes } = first;
  const parts = [first.data];
  for (let offset = first.data.length; offset < totalBytes;) {
    const part = await fetchPart({ revision, offset });
    if (part?.revision !== revision || part.digest !== digest || part.offset !== offset) {
      return null;
    }
    if (part.data.length === 0) {
      return null;
    }
    parts.push(part.data);
    offset += part.data.length;
  }
  return Buffer.concat(parts);
}
