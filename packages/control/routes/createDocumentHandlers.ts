import type { DocumentPartRequest } from "@clementinemux/registry/DocumentPartRequest";
import type { MessageHandler } from "@clementinemux/wire/MessageHandler";
import { MessageName } from "@clementinemux/wire/MessageName";
import type { DocumentReadRequest } from "./DocumentReadRequest";
import type { DocumentService } from "./DocumentService";
import type { OfferedDocument } from "./OfferedDocument";
import type { StoredDocument } from "./StoredDocument";

/** Handlers of messages about the route document. `getDocuments` throws while the coordinator has not started. */
export function createDocumentHandlers(
  getDocuments: () => DocumentService,
): Readonly<Record<string, MessageHandler>> {
  return {
    [MessageName.ProposeDocument]: async (body) => {
      await getDocuments().proposeAsLeader(body as StoredDocument | OfferedDocument);
      return null;
    },
    [MessageName.ReadDocument]: (body) => getDocuments().readAsLeader(body as DocumentReadRequest | null),
    [MessageName.ReadDocumentPart]: (body) => getDocuments().readPart(body as DocumentPartRequest),
    [MessageName.ConfirmDocument]: () => getDocuments().confirmAsLeader(),
  };
}
