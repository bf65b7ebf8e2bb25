import { type Fault } from "../../types";

/** Formats a fault for a log line: its path in the input and its message. */
export const formatFault = ({ path, message }: Fault): string => `${path}: ${message}`;
