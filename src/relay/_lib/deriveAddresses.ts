import { type Address } from "../../types";

/** Address at which a node takes control from other nodes, beside its address for requests. */
export const deriveControlAddress = ({ host, port }: Address): Address => ({ host, port: port + 1 });

/** Address at which a node takes links from other nodes, beside its address for requests. */
export const deriveLinkAddress = ({ host, port }: Address): Address => ({ host, port: port + 2 });
