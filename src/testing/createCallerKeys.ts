import { CallerKeys } from "../relay/organisations/callerKeys";
import { testHeaderNames } from "./startRelayFleet";

/** Creates the index of keys of a node whose routing table is current; it knows no keys before it adopts a table. */
export const createCallerKeys = (readTableAgeMs: () => number = () => 0): CallerKeys =>
    new CallerKeys(testHeaderNames, { maxUseAgeMs: 4_750, maxDenialAgeMs: 2_500 }, readTableAgeMs);
