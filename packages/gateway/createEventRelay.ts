import { EventPacer } from "./EventPacer";
import { EventRelay } from "./EventRelay";
import type { GatewayContext } from "./GatewayContext";
import type { Guard } from "./Guard";
import type { ResponseWriter } from "./ResponseWriter";
import type { RoutedRequest } from "./RoutedRequest";
import { notePass } from "./notePass";

interface RelayInput {
  readonly writer: ResponseWriter;
  readonly guard: Guard;
  /** Target that the stream comes from at present; empty for none. */
  readonly getTargetId: () => string;
}

/** Creates the relay for the events of a request, which measures the pauses between them. */
export function createEventRelay(
  context: GatewayContext,
  { route, service }: RoutedRequest,
  { writer, guard, getTargetId }: RelayInput,
): EventRelay {
  const { maxHoldMs, clock } = context.options;
  return new EventRelay({
    writer,
    pacer: new EventPacer({ maxHoldMs, gapObjectiveMs: route.gapObjectiveMs }),
    clock,
    guard,
    onGap: (gapMs) => {
      context.metrics.pauses.observeMs(gapMs);
      notePass(context, service.name, getTargetId(), gapMs);
    },
  });
}
