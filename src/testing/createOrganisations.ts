import { Organisations } from "../relay/organisations";
import { createTestSettings, testHeaderNames } from "./startRelayFleet";
import { type VirtualClock } from "./virtualClock";

/** Creates what a node knows of organisations; it knows none before it adopts a table, and reaches no other nodes. */
export const createOrganisations = (clock: VirtualClock): Organisations =>
    new Organisations(createTestSettings("127.0.0.2", "desk", 1, 1), {
        keyNames: testHeaderNames,
        readTableAgeMs: () => 0,
        clock,
        queryTokens: (unused, query, onAnswer) => onAnswer(undefined),
        onHolder: () => undefined,
    });
