import { type z } from "zod";
import { type settingsSchema } from "./schema";

/** Settings of one node, as parsed from its settings file. */
export type Settings = Readonly<z.infer<typeof settingsSchema>>;
