package fleet_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/sashabaranov/go-openai"
)

// chatClient returns a client of h with an API key, and a function that closes its
// idle connections.
func (s *site) chatClient(h *host, key string) (client *openai.Client, closeIdle func()) {
	httpClient := s.net.Node(callersNode).Client()
	config := openai.DefaultConfig(key)
	config.BaseURL = h.callersURL() + "/v1"
	config.HTTPClient = httpClient
	return openai.NewClientWithConfig(config), httpClient.CloseIdleConnections
}

func chatRequest() openai.ChatCompletionRequest {
	return openai.ChatCompletionRequest{
		Model:               modelName,
		MaxCompletionTokens: 20,
		Messages:            []openai.ChatCompletionMessage{{Role: openai.ChatMessageRoleUser, Content: "good morning"}},
	}
}

// TestChatClientLibraryGetsWholeAndStreamedAnswers uses an unmodified third-party
// client library.
func TestChatClientLibraryGetsWholeAndStreamedAnswers(t *testing.T) {
	run(t, siteOptions{hosts: 4, control: 3}, func(s *site) {
		ctx := context.Background()
		client, closeIdle := s.chatClient(s.hosts[3], callerKey)
		defer closeIdle()
		whole, err := client.CreateChatCompletion(ctx, chatRequest())
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(whole.Choices).To(HaveLen(1))
		s.Expect(whole.Choices[0].Message.Content).NotTo(BeEmpty())
		stream, err := client.CreateChatCompletionStream(ctx, chatRequest())
		s.Expect(err).NotTo(HaveOccurred())
		text := ""
		for {
			event, err := stream.Recv()
			if errors.Is(err, io.EOF) {
				break
			}
			s.Expect(err).NotTo(HaveOccurred())
			for _, choice := range event.Choices {
				text += choice.Delta.Content
			}
		}
		s.Expect(stream.Close()).To(Succeed())
		s.Expect(text).NotTo(BeEmpty())
		models, err := client.ListModels(ctx)
		s.Expect(err).NotTo(HaveOccurred())
		s.Expect(models.Models).To(HaveLen(1))
		s.Expect(models.Models[0].ID).To(Equal(modelName))
		s.Expect(s.budget(s.hosts[0]).Charged).To(Equal(s.expectedCharge()))
	})
}

func TestChatClientLibrarySeesRefusals(t *testing.T) {
	run(t, siteOptions{hosts: 4, control: 3}, func(s *site) {
		client, closeIdle := s.chatClient(s.hosts[3], "no-such-key")
		defer closeIdle()
		_, err := client.CreateChatCompletion(context.Background(), chatRequest())
		var refusal *openai.APIError
		s.Expect(errors.As(err, &refusal)).To(BeTrue(), "%v", err)
		s.Expect(refusal.HTTPStatusCode).To(Equal(http.StatusUnauthorized))
		s.Expect(refusal.Code).To(Equal("unauthenticated"))
		s.Expect(refusal.Message).NotTo(BeEmpty())
	})
}
