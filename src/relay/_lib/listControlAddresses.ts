import { type UpstreamRecord } from "../../routing/types";
import { type Address } from "../../types";
import { type RelaySettings } from "../types";
import { deriveControlAddress } from "./deriveAddresses";

/** Lists the control addresses of the other nodes beside upstreams of the node's service. */
export const listControlAddresses = (
    records: readonly UpstreamRecord[],
    { host: ownHost, service: ownService, peers }: RelaySettings,
): readonly Address[] =>
    records
        .filter(({ service, host }) => service === ownService && host !== ownHost)
        .map(({ host }) => ({ host, port: deriveControlAddress(peers).port }));
