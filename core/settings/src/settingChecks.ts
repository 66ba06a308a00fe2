// Checks that several processes use for their settings. Each reads text, since flags and environment
// variables are text.
import { z } from 'zod'

const highestPort = 65_535

/** IP number and port; port 0 lets the system choose one. */
export const addressSetting = z.string().refine(text => {
  const [host = '', port = '', ...rest] = text.split(':')
  const parts = host.split('.')
  return rest.length === 0 && parts.length === 4 &&
    parts.every(part => /^\d{1,3}$/.test(part) && Number(part) <= 255) &&
    /^\d{1,5}$/.test(port) && Number(port) <= highestPort
}, 'IP number and port, for example 127.0.0.1:8080')

/** Addresses separated by commas; the empty text is no address. */
export const addressListSetting = z.string()
  .transform(text => text.split(',').filter(part => part !== ''))
  .pipe(z.array(addressSetting))

/** Name of a host, a data centre or a service. */
export const nameSetting = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower-case letters, digits and hyphens, at most 63')

/** A secret of at least 16 characters. */
export const secretSetting = z.string().min(16, 'at least 16 characters')

export const optionalTextSetting = z.string().optional()

/** A whole number in the range given. */
export function integerSetting (lowest: number, highest: number): z.ZodType<number> {
  return numberText(lowest, highest, true)
}

/** A number in the range given. */
export function numberSetting (lowest: number, highest: number): z.ZodType<number> {
  return numberText(lowest, highest, false)
}

/** One of the values of an enum. */
export function choiceSetting<Choice extends string> (choices: Record<string, Choice>): z.ZodType<Choice> {
  const values = Object.values(choices)
  return z.string().refine((text): text is Choice => (values as string[]).includes(text), `one of ${values.join(', ')}`) as unknown as z.ZodType<Choice>
}

function numberText (lowest: number, highest: number, whole: boolean): z.ZodType<number> {
  return z.string()
    .refine(text => text.trim() !== '' && Number(text) >= lowest && Number(text) <= highest && (!whole || Number.isInteger(Number(text))),
      `${whole ? 'a whole number' : 'a number'} from ${lowest} to ${highest}`)
    .transform(Number)
}
