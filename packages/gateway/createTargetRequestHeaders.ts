import type { RoutedRequest } from "./RoutedRequest";
import type { SendContext } from "./SendContext";
import type { WireCodec } from "./WireCodec";

/** Headers of a request to a target: the caller's, those that the codec adds, and the length of the body. */
export function createTargetRequestHeaders(
  codec: WireCodec,
  { request, body }: RoutedRequest,
  context: SendContext,
): readonly string[] {
  const headers = codec.createTargetHeaders(request.rawHeaders, context);
  const hasBody = body.length > 0 || request.method === "POST" || request.method === "PUT";
  return hasBody ? [...headers, "Content-Length", String(body.length)] : headers;
}
