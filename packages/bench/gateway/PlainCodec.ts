import { decode } from "cbor-x";
import { Right } from "purify-ts/Either";
import type { Either } from "purify-ts/Either";
import type { CallerRequest } from "@clementinemux/gateway/CallerRequest";
import type { SendContext } from "@clementinemux/gateway/SendContext";
import type { TargetResponse } from "@clementinemux/gateway/TargetResponse";
import type { WireCodec } from "@clementinemux/gateway/WireCodec";
import type { RouteDocument } from "@clementinemux/routes/RouteDocument";

const requestIdHeader = "x-request-id";

/** Minimal codec, so that the cost of a real codec is not part of the measurement. */
export class PlainCodec implements WireCodec {
  decodeDocument(bytes: Uint8Array): Either<string, RouteDocument> {
    return Right(decode(bytes) as RouteDocument);
  }

  readRequest(headers: readonly string[]): CallerRequest {
    const requestId = readRequestId(headers);
    return {
      requestId,
      leftMs: null,
      key: null,
      promptTokens: 0,
      maxAnswerTokens: 0,
      hintTokens: 0,
      model: null,
      sharedParts: [],
      resumeAfter: null,
    };
  }

  createTargetHeaders(headers: readonly string[], { targetId }: SendContext): string[] {
    return ["host", "bench", requestIdHeader, readRequestId(headers) ?? "", "x-target", targetId];
  }

  readResponse(status: number, headers: readonly string[]): TargetResponse {
    const requestId = readRequestId(headers);
    return {
      status,
      requestId,
      isNotRun: false,
      isSigned: true,
      isMisdirected: false,
      isLeaving: false,
      pauseMs: null,
      limitPerS: null,
      faultyTarget: null,
    };
  }
}

function readRequestId(headers: readonly string[]): string | null {
  const at = headers.findIndex((name, index) => index % 2 === 0 && name.toLowerCase() === requestIdHeader);
  return at < 0 ? null : (headers[at + 1] ?? null);
}
