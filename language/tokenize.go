package language

import "unicode"

// tokenize splits a text at white space. It also returns the column after the end of the
// text. Columns count runes.
func tokenize(s string) ([]Token, int) {
	var tokens []Token
	runes := []rune(s)
	for i := 0; i < len(runes); {
		if unicode.IsSpace(runes[i]) {
			i++
			continue
		}
		end := i
		for end < len(runes) && !unicode.IsSpace(runes[end]) {
			end++
		}
		tokens = append(tokens, Token{Text: string(runes[i:end]), Column: i + 1})
		i = end
	}
	return tokens, len(runes) + 1
}
