/** Schemas of numbers that the store, settings, nodes and instance lists have in common. */
import * as z from "zod";

const maxPort = 65_535;

/** A port that a process can listen on. */
export const portSchema = z.int().min(1).max(maxPort);

/** A whole number, exact and not negative. */
export const countSchema = z.int().min(0);
