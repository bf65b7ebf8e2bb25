// Stands for the global FormData, whose first use makes Node.js load its own copy of undici. No input is a form.
export class FormData {}
