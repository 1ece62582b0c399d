import { decode } from "cbor-x";
import { Right } from "purify-ts/Either";
import type { Either } from "purify-ts/Either";
import type { CallerRequest } from "@clementinemux/gateway/CallerRequest";
import type { SendContext } from "@clementinemux/gateway/SendContext";
import type { TargetResponse } from "@clementinemux/gateway/TargetResponse";
import type { WireCodec } from "@clementinemux/gateway/WireCodec";
import { selectEndToEndHeaders } from "@clementinemux/gateway/selectEndToEndHeaders";
import type { RouteDocument } from "@clementinemux/routes/RouteDocument";

/** Codec with plain header names and CBOR documents. */
export class TestCodec implements WireCodec {
  /** Throws in place of translating, as a fault in a handler would. */
  throwIf: (method: keyof WireCodec, headers: readonly string[]) => void = () => undefined;

  decodeDocument(bytes: Uint8Array): Either<string, RouteDocument> {
    return Right(decode(bytes) as RouteDocument);
  }

  readRequest(headers: readonly string[]): CallerRequest {
    this.throwIf("readRequest", headers);
    const get = (name: string): string | null => find(headers, name);
    return {
      requestId: get("x-id"),
      leftMs: get("x-left") === null ? null : Number(get("x-left")),
      key: get("x-key"),
      promptTokens: Number(get("x-prompt") ?? 0),
      maxAnswerTokens: 0,
      hintTokens: Number(get("x-hint") ?? 0),
      model: get("x-model"),
      sharedParts: (get("x-parts") ?? "").split(",").filter((part) => part !== ""),
      resumeAfter: get("x-after"),
    };
  }

  createTargetHeaders(headers: readonly string[], context: SendContext): string[] {
    this.throwIf("createTargetHeaders", headers);
    const passed = selectEndToEndHeaders(headers).filter(
      (_, at, all) => !["x-key", "x-left"].includes((all[at - (at % 2)] ?? "").toLowerCase()),
    );
    const { leftMs, targetId, team, resumeAfter } = context;
    const own = ["x-left", String(Math.floor(leftMs)), "x-target", targetId, "x-team", team ?? ""];
    return [...passed, ...own, ...(resumeAfter === null ? [] : ["x-after", resumeAfter])];
  }

  readResponse(status: number, headers: readonly string[]): TargetResponse {
    this.throwIf("readResponse", headers);
    return {
      status,
      requestId: find(headers, "x-id"),
      isNotRun: find(headers, "x-not-run") !== null,
      isSigned: find(headers, "x-unsigned") === null,
      isMisdirected: status === 421,
      isLeaving: find(headers, "x-leaving") !== null,
      pauseMs: find(headers, "x-pause-ms") === null ? null : Number(find(headers, "x-pause-ms")),
      limitPerS: find(headers, "x-limit") === null ? null : Number(find(headers, "x-limit")),
      faultyTarget: null,
    };
  }
}

function find(headers: readonly string[], name: string): string | null {
  const at = headers.findIndex((item, index) => index % 2 === 0 && item.toLowerCase() === name);
  return at < 0 ? null : (headers[at + 1] ?? "");
}
