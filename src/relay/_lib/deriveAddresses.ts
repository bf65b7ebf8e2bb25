import { type Address } from "../../types";

/** Derives the address at which a node accepts control requests from other nodes from its address for requests. */
export const deriveControlAddress = ({ host, port }: Address): Address => ({ host, port: port + 1 });

/** Derives the address at which a node accepts links from other nodes from its address for requests. */
export const deriveLinkAddress = ({ host, port }: Address): Address => ({ host, port: port + 2 });
