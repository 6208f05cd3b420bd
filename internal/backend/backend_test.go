package backend

import "testing"

func TestTokenRoundTrip(t *testing.T) {
	want := Token{Epoch: 7, Seq: 12}
	got, err := ParseToken(want.String())
	if err != nil || got != want {
		t.Fatalf("ParseToken(Token.String()): got %v, %v, want the token", got, err)
	}
}

func TestParseTokenRejectsMalformedToken(t *testing.T) {
	for _, s := range []string{"", "1", "1.", ".1", "1.2.3", "1.2 3", "-1.2", "01.2", "1.2x"} {
		if tok, err := ParseToken(s); err == nil {
			t.Errorf("ParseToken(%q): got %v, want an error", s, tok)
		}
	}
}

func TestTokenOrderIsEpochThenSeq(t *testing.T) {
	if !(Token{1, 9}).Less(Token{2, 0}) || !(Token{2, 0}).Less(Token{2, 1}) || (Token{2, 1}).Less(Token{2, 1}) {
		t.Fatal("got a wrong token order, want epoch first, then seq")
	}
}
