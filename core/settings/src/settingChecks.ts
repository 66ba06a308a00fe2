// Schemas for the settings of several processes. They parse text, since flags and environment variables are text.
import { z } from 'zod'

const maximumPort = 65_535

/** IPv4 address and port; with port 0, the operating system assigns a free port. */
export const addressSetting = z.string().refine(text => {
  const [host = '', port = '', ...rest] = text.split(':')
  const parts = host.split('.')
  return rest.length === 0 && parts.length === 4 &&
    parts.every(part => /^\d{1,3}$/.test(part) && Number(part) <= 255) &&
    /^\d{1,5}$/.test(port) && Number(port) <= maximumPort
}, 'IP number and port, for example 127.0.0.1:8080')

/** Comma-separated list of addresses; an empty text is an empty list. */
export const addressListSetting = z.string()
  .transform(text => text.split(',').filter(part => part !== ''))
  .pipe(z.array(addressSetting))

/** Name of a host, a data centre or a service. */
export const nameSetting = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower-case letters, digits and hyphens, at most 63')

/** A secret of at least 16 characters. */
export const secretSetting = z.string().min(16, 'at least 16 characters')

export const optionalTextSetting = z.string().optional()

/** An integer in the given range, including its limits. */
export function integerSetting (minimum: number, maximum: number): z.ZodType<number> {
  return numericText(minimum, maximum, true)
}

/** A number in the given range, including its limits. */
export function numberSetting (minimum: number, maximum: number): z.ZodType<number> {
  return numericText(minimum, maximum, false)
}

/** One of the values of an enum. */
export function choiceSetting<Choice extends string> (choices: Record<string, Choice>): z.ZodType<Choice> {
  const values = Object.values(choices)
  return z.string().refine((text): text is Choice => (values as string[]).includes(text), `one of ${values.join(', ')}`) as unknown as z.ZodType<Choice>
}

function numericText (minimum: number, maximum: number, integerOnly: boolean): z.ZodType<number> {
  return z.string()
    .refine(text => text.trim() !== '' && Number(text) >= minimum && Number(text) <= maximum && (!integerOnly || Number.isInteger(Number(text))),
      `${integerOnly ? 'a whole number' : 'a number'} from ${minimum} to ${maximum}`)
    .transform(Number)
}
