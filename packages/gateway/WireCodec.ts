import type { Either } from "purify-ts/Either";
import type { RouteDocument } from "@clementinemux/routes/RouteDocument";
import type { CallerRequest } from "./CallerRequest";
import type { SendContext } from "./SendContext";
import type { TargetResponse } from "./TargetResponse";

/** Names and values in turn, as in Node's `rawHeaders`. */
type HeaderList = readonly string[];

/** Translates between a platform's headers and documents and the gateway's types. */
export interface WireCodec {
  decodeDocument(bytes: Uint8Array): Either<string, RouteDocument>;
  readRequest(headers: HeaderList): CallerRequest;
  /** Headers for the target: the caller's, without those that the gateway sets itself. */
  createTargetHeaders(headers: HeaderList, context: SendContext): string[];
  readResponse(status: number, headers: HeaderList): TargetResponse;
}
