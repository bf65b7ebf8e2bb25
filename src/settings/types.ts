import { type z } from "zod";
import { type settingsSchema } from "./schema";

/** The settings of one node. */
export type Settings = Readonly<z.infer<typeof settingsSchema>>;
