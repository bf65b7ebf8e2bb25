import { type Address } from "../../types";

/** Derives the address of a node's control listener, one port above its listener for requests from other nodes. */
export const deriveControlAddress = ({ host, port }: Address): Address => ({ host, port: port + 1 });

/** Derives the address of a node's link listener, two ports above its listener for requests from other nodes. */
export const deriveLinkAddress = ({ host, port }: Address): Address => ({ host, port: port + 2 });
